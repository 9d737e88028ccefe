"""Capacity page: stored samples of what each role costs as the cluster grows, and curves fitted to them."""
