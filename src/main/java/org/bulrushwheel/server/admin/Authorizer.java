package org.bulrushwheel.server.admin;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.vavr.control.Either;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.PutOperator;
import org.bulrushwheel.model.proto.ReadAnswer;
import org.bulrushwheel.model.proto.ReadRequest;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Authenticates operators by bearer token: the root operator by the hash in the settings, others by a confirmed read of
 * the control state, so that a revoked token becomes invalid on all instances at once.
 *
 * <p>Thread safe.
 */
public final class Authorizer {
    private static final String BEARER = "Bearer ";
    private static final String ROOT_OPERATOR = "root";
    private static final long READ_TIMEOUT_MILLIS = 3_000;

    private final Optional<String> rootTokenSha256;
    private final ControlClient control;
    private final TimeSource time;
    private final RecentTokens recentTokens = new RecentTokens();

    /** Creates an authorizer; without a root hash, only operators in the control state are accepted. */
    public Authorizer(@Nullable String rootTokenSha256, ControlClient control, TimeSource time) {
        this.time = time;
        this.rootTokenSha256 = Optional.ofNullable(rootTokenSha256);
        this.control = control;
    }

    /**
     * Completes with the operator whose token the request carries, or with {@link RefusalReason#UNAUTHORIZED} if there
     * is none, or with {@link RefusalReason#NO_QUORUM} if no majority of control replicas could be asked.
     */
    public CompletableFuture<Either<RefusalReason, Operator>> operatorOf(HttpServerExchange exchange) {
        Optional<String> hash = hashOf(exchange);
        return authenticate(hash)
                .thenApply(
                        operator -> operator.peek(any -> recentTokens.add(hash.orElseThrow(), time.monotonicMillis())));
    }

    /** Whether the token of the request was authenticated recently. */
    boolean isRecentlyAuthenticated(HttpServerExchange exchange) {
        return hashOf(exchange)
                .filter(hash -> recentTokens.contains(hash, time.monotonicMillis()))
                .isPresent();
    }

    private static Optional<String> hashOf(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION))
                .filter(value -> value.startsWith(BEARER))
                .map(value -> Tokens.sha256(value.substring(BEARER.length())));
    }

    private CompletableFuture<Either<RefusalReason, Operator>> authenticate(Optional<String> hash) {
        if (hash.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(RefusalReason.UNAUTHORIZED));
        }
        if (rootTokenSha256.filter(root -> Tokens.same(root, hash.get())).isPresent()) {
            return CompletableFuture.completedFuture(
                    Either.right(new Operator(ROOT_OPERATOR, Optional.empty(), Operator.Role.ADMINISTRATOR)));
        }
        ReadRequest request =
                ReadRequest.newBuilder().setTokenSha256(hash.get()).build();
        return control.read(request, READ_TIMEOUT_MILLIS).thenApply(Authorizer::toOperator);
    }

    private static Either<RefusalReason, Operator> toOperator(Optional<ReadAnswer> confirmed) {
        if (confirmed.isEmpty()) {
            return Either.left(RefusalReason.NO_QUORUM);
        }
        return confirmed.get().getOperatorsList().stream()
                .findFirst()
                .map(Authorizer::toOperator)
                .<Either<RefusalReason, Operator>>map(Either::right)
                .orElseGet(() -> Either.left(RefusalReason.UNAUTHORIZED));
    }

    private static Operator toOperator(PutOperator stored) {
        Optional<String> team = Optional.of(stored.getTeam()).filter(name -> !name.isEmpty());
        return new Operator(stored.getName(), team, Operator.Role.valueOf(stored.getRole()));
    }
}
