"""The proxy process: executes the decisions of the balancer on real sockets."""
