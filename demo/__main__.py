"""Runs the demonstration as `python -m demo`."""

from sys import exit

from demo.scenario import main

exit(main())
