"""Tests of the boragetide package."""
