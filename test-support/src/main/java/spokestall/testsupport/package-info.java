/** Utilities for the tests of all modules: the list of known failures, golden files, and free ports. Never shipped. */
package spokestall.testsupport;
