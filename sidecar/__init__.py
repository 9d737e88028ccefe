"""Sidecar: the sidecar that puts balancer's decisions on real sockets."""
