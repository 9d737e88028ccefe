"""A day in real time on loopback: real copies of the program, stand-ins for the rest, faults between."""
