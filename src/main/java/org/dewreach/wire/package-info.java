/**
 * The public messages of dewreach: what users and workers send and receive.
 *
 * <p>Clients may use this package alone, so it depends on no other package of the project. The
 * protocol's field names (`uid`, `lane`, `warrant`, ...) stand here and in the codecs of {@code
 * store}, {@code cloud} and {@code peer}; everywhere else these things have the field's standard
 * names, see the glossary in docs/design.md. Nothing here decides, sends or keeps anything.
 */
package org.dewreach.wire;
