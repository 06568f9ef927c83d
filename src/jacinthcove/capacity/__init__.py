"""Measures what the engines can do, as the basis of fair shares and admission."""
