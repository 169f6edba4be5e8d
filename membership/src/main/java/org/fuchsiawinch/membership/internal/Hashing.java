package org.fuchsiawinch.membership.internal;

import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MemberState;

/** 64-bit non-cryptographic hashes, stable across machines and releases. */
public final class Hashing {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hashing() {}

    /** Returns the mixed FNV-1a hash of the UTF-16 code units of a text. */
    public static long hashText(String value) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < value.length(); i++) {
            hash = (hash ^ value.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns a bijective mix (SplitMix64 finalizer): each input bit changes half of the output bits on average. */
    public static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * Returns the contribution of a member to the digest of a view; contributions are combined by XOR. Alive and
     * suspect contribute the same value, dead members contribute 0 and the incarnation is ignored, so that suspicions
     * and refutations do not change the digest.
     *
     * @param member the member
     */
    public static long digest(Member member) {
        if (member.state() == MemberState.DEAD) {
            return 0;
        }
        long leaving = member.state() == MemberState.LEAVING ? 1 : 0;
        return mix(hashText(member.id().value()) + leaving);
    }
}
