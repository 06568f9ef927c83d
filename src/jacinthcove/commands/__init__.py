"""Entry points and command lines of the programs."""
