"""Runs the demonstration as `python -m demo`."""

from sys import exit

from demo.story import main

exit(main())
