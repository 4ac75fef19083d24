"""The bilberryspread daemon: one process per instance, with its roles."""
