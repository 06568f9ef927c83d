"""Which start of a target a connection leads to, so that a cold one is not taken for a warm one."""
