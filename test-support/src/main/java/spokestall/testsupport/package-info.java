/** What the tests of all modules share: the list of known failures, golden files, and free ports. Never shipped. */
package spokestall.testsupport;
