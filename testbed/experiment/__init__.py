"""Experiments: scenarios x seeds x variants, run in parallel, stored in a file and compared by seed."""
