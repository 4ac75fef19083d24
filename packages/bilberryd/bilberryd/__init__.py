"""The daemon of bilberryspread: one process for an instance, with roles."""
