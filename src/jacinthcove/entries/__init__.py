"""Objects of the shared store as bytes: which of them this router keeps, and at what size."""
