package spokestall.audit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JOSEObjectType;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.JWSObject;
import com.nimbusds.jose.JWSVerifier;
import com.nimbusds.jose.Payload;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.crypto.ECDSAVerifier;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.util.Base64URL;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.text.ParseException;
import java.util.List;

/**
 * A hash chain of signed entries (JWS, ES256), one per line. Each entry contains its number and the SHA-256 digest of the previous
 * line, so that {@link #check} detects removed, altered and reordered entries.
 *
 * <p>Not thread-safe. The names of entry fields are stored, and the names of {@link Verdict}'s records and their components are
 * printed; both must stay as they are.
 */
public final class AuditChain {
    /** Result of a check. */
    public sealed interface Verdict {
        /** Every line is complete, has a valid signature and follows the previous line. */
        record Good(long first, long last, int entries) implements Verdict {}

        /** The last line is incomplete, for example after a power loss; all other lines are good. */
        record Torn(long first, long last, int entries) implements Verdict {}

        /** A line was altered, removed, added or moved; {@code line} is the first bad line, counted from 1. */
        record Bad(int line, String why) implements Verdict {}
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final JOSEObjectType TYPE = new JOSEObjectType("spokestall-audit");
    private final ECKey key;
    private final ECDSASigner signer;
    private String lastDigest;
    private long nextNumber;

    /**
     * Creates a chain that continues after {@code lastLine}, or a new one if {@code lastLine} is null.
     *
     * @throws ParseException if {@code lastLine} is not an entry
     */
    public AuditChain(final ECKey key, final String lastLine) throws JOSEException, ParseException {
        this.key = key;
        this.signer = new ECDSASigner(key);
        this.lastDigest = lastLine == null ? "" : digest(lastLine);
        this.nextNumber = lastLine == null ? 1 : number(lastLine) + 1;
    }

    private static long number(final String line) throws ParseException {
        final Object value = JWSObject.parse(line).getPayload().toJSONObject().get("n");
        if (!(value instanceof Number number)) {
            throw new ParseException("the entry has no number", 0);
        }
        return number.longValue();
    }

    private static String digest(final String line) {
        try {
            return Base64URL.encode(
                            MessageDigest.getInstance("SHA-256").digest(line.getBytes(StandardCharsets.US_ASCII)))
                    .toString();
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Signs an entry and returns its line. The next entry contains this line's digest. */
    public String append(final String kind, final ObjectNode fields) throws JOSEException {
        final ObjectNode entry = JSON.createObjectNode()
                .put("n", nextNumber)
                .put("before", lastDigest)
                .put("kind", kind);
        entry.setAll(fields);
        final JWSObject jws = new JWSObject(
                new JWSHeader.Builder(JWSAlgorithm.ES256)
                        .type(TYPE)
                        .keyID(key.getKeyID())
                        .build(),
                new Payload(entry.toString()));
        jws.sign(signer);
        final String line = jws.serialize();
        lastDigest = digest(line);
        nextNumber++;
        return line;
    }

    /** Checks lines in order; {@code terminated} is whether the last line ends with a line feed. */
    public static Verdict check(final ECKey publicKey, final List<String> lines, final boolean terminated) {
        long first = 0;
        long last = 0;
        String lastDigest = null;
        for (int i = 0; i < lines.size(); i++) {
            if (i == lines.size() - 1 && !terminated) {
                return new Verdict.Torn(first, last, i);
            }
            final String fault = faultOf(publicKey, lines.get(i), lastDigest, last);
            if (fault != null) {
                return new Verdict.Bad(i + 1, fault);
            }
            try {
                last = number(lines.get(i));
            } catch (final ParseException e) {
                return new Verdict.Bad(i + 1, e.getMessage());
            }
            first = i == 0 ? last : first;
            lastDigest = digest(lines.get(i));
        }
        return new Verdict.Good(first, last, lines.size());
    }

    /**
     * Returns the reason why a line is bad, or null if it is good. {@code lastDigest} is null for the first line, which may have
     * any number.
     */
    private static String faultOf(
            final ECKey publicKey, final String line, final String lastDigest, final long lastNumber) {
        try {
            final JWSObject jws = JWSObject.parse(line);
            final JWSVerifier verifier = new ECDSAVerifier(publicKey);
            if (!JWSAlgorithm.ES256.equals(jws.getHeader().getAlgorithm()) || !jws.verify(verifier)) {
                return "the signature does not match the public key";
            }
            if (lastDigest == null) {
                return null;
            }
            if (number(line) != lastNumber + 1) {
                return "entry number " + number(line) + " follows entry number " + lastNumber;
            }
            final Object statedDigest = jws.getPayload().toJSONObject().get("before");
            return lastDigest.equals(statedDigest) ? null : "the digest does not match the previous line";
        } catch (final ParseException | JOSEException e) {
            return "the line is not a signed entry: " + e.getMessage();
        }
    }
}
