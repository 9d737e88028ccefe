"""The client side of the proxy: listener, client connections, requests and bodies."""
