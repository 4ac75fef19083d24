"""Tests of quotas."""
