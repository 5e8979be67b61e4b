/** What the tests of all modules share: the list of known failures, and golden files. Never shipped. */
package spokestall.testsupport;
