"""`python -m plumtrestle` is the console script."""

from plumtrestle.cli import main

main()
