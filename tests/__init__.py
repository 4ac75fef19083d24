"""Tests of bilberryspread, a folder that mirrors each package."""
