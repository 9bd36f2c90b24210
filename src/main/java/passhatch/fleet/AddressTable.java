package passhatch.fleet;

/**
 * Who is at which place of the list of addresses. Kept in pages that are never written to: a change
 * replaces the page, so that a copy of the table shares all pages that neither has changed since.
 */
final class AddressTable {

    private static final int PAGE = 128;

    private final String[][] pages;
    private final int length;

    AddressTable(int length) {
        this.length = length;
        this.pages = new String[(length + PAGE - 1) / PAGE][];
    }

    /** A copy that shares what does not change. */
    AddressTable(AddressTable other) {
        this.length = other.length;
        this.pages = other.pages.clone();
    }

    int length() {
        return length;
    }

    /** The name at an address, or null. */
    String get(int address) {
        String[] page = pages[address / PAGE];
        return page == null ? null : page[address % PAGE];
    }

    /** Takes a name for an address; null where nobody is there any more. */
    void set(int address, String name) {
        String[] page = pages[address / PAGE];
        String[] changed = page == null ? new String[PAGE] : page.clone();
        changed[address % PAGE] = name;
        pages[address / PAGE] = changed;
    }
}
