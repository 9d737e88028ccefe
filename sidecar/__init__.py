"""The sidecar process: an HTTP/1.1 proxy that executes the decisions of the balancer."""
