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

/** Signed entries (JWS, ES256), one a line, each with its number and the digest of the line before. */
public final class AuditChain {
    /** What a check found. */
    public sealed interface Verdict {
        /** Every line is whole, signed and follows the one before. */
        record Good(long first, long last, int entries) implements Verdict {}

        /** All is good up to a last line that was cut off, as by a loss of power. */
        record Torn(long first, long last, int entries) implements Verdict {}

        /** A line was changed, dropped, added or put elsewhere; lines count from one. */
        record Bad(int line, String why) implements Verdict {}
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final JOSEObjectType TYPE = new JOSEObjectType("spokestall-audit");
    private final ECKey key;
    private final ECDSASigner signer;
    private String before;
    private long next;

    /** Goes on after a line, or from the start with null. */
    public AuditChain(final ECKey key, final String lastLine) throws JOSEException, ParseException {
        this.key = key;
        this.signer = new ECDSASigner(key);
        this.before = lastLine == null ? "" : digest(lastLine);
        this.next = lastLine == null ? 1 : number(lastLine) + 1;
    }

    private static long number(final String line) throws ParseException {
        final Object n = JWSObject.parse(line).getPayload().toJSONObject().get("n");
        if (!(n instanceof Number number)) {
            throw new ParseException("an entry without a number", 0);
        }
        return number.longValue();
    }

    private static String digest(final String line) {
        try {
            return Base64URL.encode(
                            MessageDigest.getInstance("SHA-256").digest(line.getBytes(StandardCharsets.US_ASCII)))
                    .toString();
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The next line; it counts as the one before from now on. */
    public String add(final String kind, final ObjectNode what) throws JOSEException {
        final ObjectNode entry =
                JSON.createObjectNode().put("n", next).put("before", before).put("kind", kind);
        entry.setAll(what);
        final JWSObject jws = new JWSObject(
                new JWSHeader.Builder(JWSAlgorithm.ES256)
                        .type(TYPE)
                        .keyID(key.getKeyID())
                        .build(),
                new Payload(entry.toString()));
        jws.sign(signer);
        final String line = jws.serialize();
        before = digest(line);
        next++;
        return line;
    }

    /** Checks lines in their order; wholeEnd says whether the last one ended with a line's end. */
    public static Verdict check(final ECKey publicKey, final List<String> lines, final boolean wholeEnd) {
        long first = 0;
        long last = 0;
        String before = null;
        for (int i = 0; i < lines.size(); i++) {
            final boolean end = i == lines.size() - 1;
            if (end && !wholeEnd) {
                return new Verdict.Torn(first, last, i);
            }
            final String why = wrong(publicKey, lines.get(i), before, last);
            if (why != null) {
                return new Verdict.Bad(i + 1, why);
            }
            try {
                last = number(lines.get(i));
            } catch (final ParseException e) {
                return new Verdict.Bad(i + 1, e.getMessage());
            }
            first = i == 0 ? last : first;
            before = digest(lines.get(i));
        }
        return new Verdict.Good(first, last, lines.size());
    }

    private static String wrong(final ECKey publicKey, final String line, final String before, final long last) {
        try {
            final JWSObject jws = JWSObject.parse(line);
            final JWSVerifier verifier = new ECDSAVerifier(publicKey);
            if (!JWSAlgorithm.ES256.equals(jws.getHeader().getAlgorithm()) || !jws.verify(verifier)) {
                return "its signature is not the key's";
            }
            if (before == null) {
                return null;
            }
            final Object said = jws.getPayload().toJSONObject().get("before");
            return number(line) != last + 1
                    ? "it is number " + number(line) + " after " + last
                    : !before.equals(said) ? "it does not follow the line before" : null;
        } catch (final ParseException | JOSEException e) {
            return "it is no signed entry: " + e.getMessage();
        }
    }
}
