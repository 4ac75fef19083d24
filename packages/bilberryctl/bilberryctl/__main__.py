"""Runs the command as `python -m bilberryctl`."""

from bilberryctl.main import main

main()
