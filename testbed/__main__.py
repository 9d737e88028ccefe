"""`python -m testbed` is the console script."""

from testbed.cli import main

main()
