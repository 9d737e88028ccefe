"""The other sidecars of the tier, without I/O: who is present, who has left, what when they disagree."""
