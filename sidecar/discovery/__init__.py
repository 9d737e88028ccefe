"""The endpoint list: reading it, its versions, polling and watching."""
