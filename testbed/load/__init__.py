"""The load generator of the emulator: open loop, arrivals drawn ahead, latency from the scheduled start."""
