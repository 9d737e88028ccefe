"""Service discovery: endpoint lists and their versions, polling and watching."""
