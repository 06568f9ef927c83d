"""Small fakes of the interfaces, shared by tests."""
