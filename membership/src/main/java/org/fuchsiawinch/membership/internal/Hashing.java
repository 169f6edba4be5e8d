package org.fuchsiawinch.membership.internal;

import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MemberState;

/** 64-bit hashes that are the same on every machine and in every release. Not for security. */
public final class Hashing {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hashing() {}

    /** Returns the mixed FNV-1a hash of a text's UTF-16 units. */
    public static long hashText(String value) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < value.length(); i++) {
            hash = (hash ^ value.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns a bijective mix in which each input bit changes half of the output bits (SplitMix64's finalizer). */
    public static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * Returns a member's part in the digest of a view. Alive and suspect count as the same, and a dead member as
     * absent, and the incarnation does not count, so that the digest is steady while suspicions come and go.
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
