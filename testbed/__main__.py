"""Entry point of `python -m testbed`, the same as the console script."""

from testbed.cli import main

main()
