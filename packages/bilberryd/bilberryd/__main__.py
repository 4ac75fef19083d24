"""Runs the `bilberryd` command as `python -m bilberryd`."""

from bilberryd.main import main

main()
