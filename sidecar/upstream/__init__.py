"""The server side of the proxy: attempts, the connection pool and one HTTP exchange."""
