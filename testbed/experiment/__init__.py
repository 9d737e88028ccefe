"""Worlds x seeds x variants: played side by side, kept in a file, compared by seed."""
