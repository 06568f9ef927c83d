"""How many engines of each service and failure domain to order."""
