"""Entries that are late answer callers by the configuration that must be in force."""

import unittest

import soak_configuration


class LateEntries(unittest.TestCase):

    def test_requests_that_waited_beside_the_stores_notice_get_the_new_configuration(self):
        self.assertEqual(0, soak_configuration.main(
            ["--seed", "31", "--directed", "4", "--hosts", "2"]))

    def test_an_owner_short_of_processor_time_keeps_to_the_configuration(self):
        self.assertEqual(0, soak_configuration.main(
            ["--seed", "42", "--seconds", "30", "--allotment", "0.015",
             "--longest-gap", "1.5"]))


if __name__ == "__main__":
    unittest.main()
