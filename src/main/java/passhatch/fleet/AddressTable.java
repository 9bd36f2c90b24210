package passhatch.fleet;

/**
 * The name of the member at each index of the address list. It is stored in immutable pages: a
 * change replaces the page, so that copies of the table share the pages that neither has changed
 * since.
 */
final class AddressTable {

    private static final int PAGE_SIZE = 128;

    private final String[][] pages;
    private final int length;

    AddressTable(int length) {
        this.length = length;
        this.pages = new String[(length + PAGE_SIZE - 1) / PAGE_SIZE][];
    }

    /** Creates a copy that shares unchanged pages. */
    AddressTable(AddressTable other) {
        this.length = other.length;
        this.pages = other.pages.clone();
    }

    int length() {
        return length;
    }

    /** The name at an index, or null. */
    String get(int addressIndex) {
        String[] page = pages[addressIndex / PAGE_SIZE];
        return page == null ? null : page[addressIndex % PAGE_SIZE];
    }

    /** Sets the name at an index; null if no member is there any more. */
    void set(int addressIndex, String name) {
        String[] page = pages[addressIndex / PAGE_SIZE];
        String[] changed = page == null ? new String[PAGE_SIZE] : page.clone();
        changed[addressIndex % PAGE_SIZE] = name;
        pages[addressIndex / PAGE_SIZE] = changed;
    }
}
