/**
 * The public messages of dewreach, which users and workers send and receive.
 *
 * <p>Clients may use this package alone, so it depends on no other package of the project. The
 * protocol's field names ({@code uid}, {@code lane}, {@code warrant}, ...) occur only here, in the
 * codecs of {@code store}, {@code cloud} and {@code peer}, and in stored records; all other code
 * uses the standard terms, see the glossary in docs/design.md. The classes are plain messages: they
 * make no decisions, do no I/O and keep no state.
 */
package org.dewreach.wire;
