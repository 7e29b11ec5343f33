"""Tests of the names of features that may crash targets."""

import unittest

from hillthread.state.targets import request_features as features


class PartKeyTest(unittest.TestCase):
    def test_key_names_part_and_owner(self):
        key = features.encode_part_key("5c1e07a2", "tenant")
        self.assertTrue(features.is_part_key(key))
        self.assertTrue(features.has_owner(key))
        self.assertEqual(features.part_name(key), "5c1e07a2")

    def test_tenants_have_keys_of_their_own(self):
        keys = {
            features.encode_part_key("5c1e07a2", tenant)
            for tenant in ("one", "two")
        }
        self.assertEqual(len(keys), 2)

    def test_unusual_names_are_hashed(self):
        for name in ("x" * 17, "a@b", "\u00e9", ""):
            with self.subTest(name=name):
                key = features.encode_part_key(name, "tenant")
                self.assertLess(len(key), 40)
                self.assertEqual(key.count("@"), 1)
                self.assertNotEqual(features.part_name(key), name)

    def test_digest_of_a_request_is_no_part(self):
        self.assertFalse(features.is_part_key("ab02669e7f023081"))
