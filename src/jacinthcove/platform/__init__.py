"""Translation between the users' platform and the product; nothing outside knows its names."""
