"""Tests of the compression of long messages."""

from random import Random

from bilberry_core.messages.compression import (
    SKIPPED_AFTER_NO_GAIN,
    Compressor,
)
from testtools import TestCase

_TEXT = b'{"part": "compressor", "state": "in stock"}' * 60
_NOISE = Random(1).randbytes(len(_TEXT))


class Kind:
    """A type of message."""


class CompressorTest(TestCase):
    """Tests of the compressor of one stream."""

    def test_text_is_shortened(self):
        """Every message that gains is compressed."""
        compressor = Compressor()
        for _message in range(3):
            sent = compressor.compress(Kind, _TEXT)
            self.assertLess(len(sent), len(_TEXT) / 10)

    def test_noise_is_sent_as_it_is(self):
        """No message becomes longer."""
        compressor = Compressor()
        for _message in range(2 * SKIPPED_AFTER_NO_GAIN):
            self.assertEqual(_NOISE, compressor.compress(Kind, _NOISE))

    def test_text_after_noise_is_shortened_again(self):
        """A type is tried again after it gained nothing."""
        compressor = Compressor()
        compressor.compress(Kind, _NOISE)
        for _message in range(SKIPPED_AFTER_NO_GAIN):
            self.assertEqual(_TEXT, compressor.compress(Kind, _TEXT))
        self.assertNotEqual(_TEXT, compressor.compress(Kind, _TEXT))

    def test_types_are_told_apart(self):
        """Noise of one type leaves the messages of others compressed."""
        compressor = Compressor()
        compressor.compress(Kind, _NOISE)
        self.assertNotEqual(_TEXT, compressor.compress(str, _TEXT))
