"""Code that every process of bilberryspread shares.

Value types (verdict, policy, configuration, endpoint, snapshot), the
blackboard that controllers read and write, the settings, and the streams
between daemons.
"""

__version__ = '0.1.0'
