"""The simulation: plays a scenario run in virtual time, with real decisions and modelled surroundings.

The balancer, or another policy, decides as in a real sidecar; servers, network, discovery and clients are
modelled.
"""
