"""Many members on one machine: real sidecar processes beside hollow ones, faults between, and figures."""
