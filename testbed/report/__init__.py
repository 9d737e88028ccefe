"""Output of scenario runs and experiments: tables for a terminal and a self-contained HTML page."""
