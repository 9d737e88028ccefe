"""The simulation: plays a scenario run in virtual time.

Replicas run the real balancer, or another policy; servers, network, discovery and clients are modelled.
"""
