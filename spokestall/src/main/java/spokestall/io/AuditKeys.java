package spokestall.io;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.text.ParseException;
import spokestall.storage.DirectorySync;

/**
 * The key pair that signs a core's audit: {@code key.jwk}, which only the process may read, and {@code public.jwk}, with which
 * the audit is verified. Blocks on files.
 */
final class AuditKeys {
    private AuditKeys() {}

    /**
     * Returns the directory's key pair, generating it if there is none. The private key's file appears last, after both are
     * synced, so an interrupted first start leaves no private key without its public one.
     */
    static ECKey loadOrGenerate(final Path directory, final String node)
            throws IOException, JOSEException, ParseException {
        final Path keyFile = directory.resolve("key.jwk");
        if (Files.exists(keyFile)) {
            return ECKey.parse(Files.readString(keyFile));
        }
        final ECKey generated = new ECKeyGenerator(Curve.P_256)
                .keyID(node + "/" + Long.toHexString(System.currentTimeMillis()))
                .generate();
        final Path temporary = Files.createTempFile(
                directory,
                "key",
                ".new",
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        writeAndSync(temporary, generated.toJSONString());
        writeAndSync(directory.resolve("public.jwk"), generated.toPublicJWK().toJSONString());
        Files.move(temporary, keyFile, StandardCopyOption.ATOMIC_MOVE);
        DirectorySync.sync(directory);
        DirectorySync.sync(directory.toAbsolutePath().getParent());
        return generated;
    }

    private static void writeAndSync(final Path path, final String text) throws IOException {
        try (FileChannel file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            file.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
            file.force(true);
        }
    }
}
