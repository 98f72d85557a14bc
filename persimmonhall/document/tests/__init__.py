"""Test the document slice."""
