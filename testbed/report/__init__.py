"""What days and experiments are told as: tables for a terminal, one page for a browser."""
