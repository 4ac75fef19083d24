"""The operators' command line of bilberryspread."""
