"""Scale runs: real sidecar processes and simulated members on one machine, with faults, and their costs."""
