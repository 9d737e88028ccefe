"""The application beside each copy: open loop, arrivals drawn ahead, latency from the intended start."""
